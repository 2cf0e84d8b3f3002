// Package storekeeper is a client of the platform's services: the transactional
// tables, the object store and the list of instances.
//
// The services are concrete types with function fields, so that a test or the
// embedded stand-in can replace the platform. A write whose answer was lost
// returns ErrUnknown: it may have taken effect or not, and the caller must read
// the row or object to find out.
package storekeeper
