// Package releaser decides how the calls of a service move to upstreams of another version.
//
// It is designed for this load: most new versions are good and are wanted within seconds. A bad
// one fails some of its calls or takes several times as long, at once or after a while, under
// load or on one route alone, while upstreams of either version crash, slow down and fail for
// reasons of their own. Few calls may reach a bad version before it is rolled back.
//
// Until shortly before its time limit, a roll-out gets a small share of the calls, at so few of
// its upstreams that each of them is as busy as it would be with all of the calls. Each route
// is compared with the other version over the same seconds. Unless its answers are less reliable,
// the target then gets all calls, and the roll-out is completed once the calls at the other
// version have ended.
package releaser
