// Package publisher accepts configurations and brings them into force.
//
// The body of a configuration is an immutable object named by its content hash.
// One row of the table service, the head, names the body in force and its
// revision. A configuration is accepted by a compare-and-set of that row.
// Processes poll the head and never go back to a lower revision.
package publisher
