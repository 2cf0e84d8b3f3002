// Package encoder reads and writes the frames that the project's own processes
// exchange over yamux streams.
//
// A stream carries one conversation: a call, a look-up, a digest, a
// configuration body. A frame on the wire is a length of four bytes, big
// endian, followed by a protobuf message of type Frame. Frames over MaxFrame
// bytes are refused on both sides, so a broken peer can't make a process
// allocate without bound.
//
// A call goes: Offer; then Granted, Queued followed by Granted, or Refused;
// then Run, which commits; then Head, Chunk as often as needed, and End. Until
// Run has been sent the caller's request has not run, and a refusal may say so.
//
// The generated code is committed. To change a message, edit a .proto file
// here and run "go generate ./internal/encoder" with protoc and protoc-gen-go
// installed.
package encoder

//go:generate protoc --go_out=. --go_opt=paths=source_relative frames.proto control.proto peers.proto
