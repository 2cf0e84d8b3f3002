// Package publisher brings an accepted configuration into force.
//
// The body of a configuration is an immutable object named by its content
// hash. One row of the table service, the head, says which body is in force
// under which revision. To accept a configuration is to change that row by
// compare-and-set. Processes poll the head, and never go to a lower revision.
package publisher
