// Package deployer lays out both deployments' real sizes on a stage.
package deployer
