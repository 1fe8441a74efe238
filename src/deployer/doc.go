// Package deployer runs the example deployments in their real sizes on a cluster.
package deployer
