// Package node is the parent of the packages that make up an instance.
package node
