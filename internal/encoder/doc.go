// Package encoder reads and writes the frames that trefoilseam processes (entries,
// agents, the command line) exchange over yamux streams.
//
// A stream carries one exchange: a call, a look-up, a digest or a configuration
// body. A frame on the wire is a length of four bytes, big endian, followed by a
// protobuf message of type Frame. Both sides refuse frames over MaxFrame bytes,
// so that a faulty peer can't make a process allocate without bound.
//
// The frames of a call are Offer; then Granted, Queued followed by Granted, or
// Refused; then Run, which commits the call; then Head, any number of Chunk, and
// End. Until Run is sent the request has not run, and a refusal may say so.
//
// The generated code is committed. To change a message, edit a .proto file
// here and run "go generate ./internal/encoder" with protoc and protoc-gen-go
// installed.
package encoder

//go:generate protoc --go_out=. --go_opt=paths=source_relative frames.proto control.proto peers.proto
