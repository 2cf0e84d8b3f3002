// Package storekeeper is the client of the platform: its transactional table
// service, its object store and its list of instances.
//
// The three are concrete types with function fields, so that a test or the
// embedded stand-in can replace the platform. A write whose answer was lost
// returns ErrUnknown: it may have taken effect or not, and the caller must read
// the row or object to find out.
package storekeeper
