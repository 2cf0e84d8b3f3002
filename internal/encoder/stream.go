package encoder

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// MaxFrame is the maximum frame size in bytes. It must hold the largest request
// body that a configuration may allow, which is MaxBody.
const MaxFrame = 9 << 20

// MaxBody is the largest request body in bytes that any service may allow.
const MaxBody = 8 << 20

const lengthBytes = 4

// ErrFrameTooLong is returned for a frame over MaxFrame.
var ErrFrameTooLong = eris.New("frame over the limit")

// ErrUnexpected is returned for a frame without a message, or with another one than
// expected.
var ErrUnexpected = eris.New("unexpected frame")

// Stream reads and writes frames. One goroutine may read while another writes.
type Stream struct {
	in  *bufio.Reader
	out io.Writer
	buf []byte
}

// NewStream returns a stream over a connection.
func NewStream(conn io.ReadWriter) *Stream {
	return &Stream{in: bufio.NewReader(conn), out: conn}
}

// Write sends one or more frames with a single write to the connection, so that an
// offer and its Run frame are sent together.
func (stream *Stream) Write(frames ...*Frame) error {
	buf := stream.buf[:0]
	for _, frame := range frames {
		var err error
		buf, err = Append(buf, frame)
		if err != nil {
			return err
		}
	}
	stream.buf = reusable(buf)
	if _, err := stream.out.Write(buf); err != nil {
		return eris.Wrap(err, "write frame")
	}
	return nil
}

// reusable returns buf for reuse, or nil if a large frame has grown it.
func reusable(buf []byte) []byte {
	const maxReused = 64 << 10
	if cap(buf) > maxReused {
		return nil
	}
	return buf
}

// Append appends the wire form of the frame to buf and returns the result.
func Append(buf []byte, frame *Frame) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, lengthBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, frame)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	size := len(buf) - start - lengthBytes
	if size > MaxFrame {
		return nil, ErrFrameTooLong
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// Read returns the next frame. It returns io.EOF when the peer has closed the
// stream between frames, and io.ErrUnexpectedEOF inside one.
func (stream *Stream) Read() (*Frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(stream.in, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxFrame {
		return nil, ErrFrameTooLong
	}
	body, err := readBody(stream.in, int(size))
	if err != nil {
		return nil, err
	}
	frame := &Frame{}
	if err := proto.Unmarshal(body, frame); err != nil {
		return nil, eris.Wrap(err, "decode frame")
	}
	if frame.GetBody() == nil {
		return nil, ErrUnexpected
	}
	return frame, nil
}

// readBody reads size bytes. It grows a large buffer as bytes arrive, so that a
// length without its body can't make the process allocate MaxFrame bytes.
func readBody(in io.Reader, size int) ([]byte, error) {
	const maxPreallocated = 64 << 10
	if size <= maxPreallocated {
		body := make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			return nil, unexpectedEOF(err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(in, int64(size)))
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if len(body) < size {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadAs reads the next frame and returns the message that get selects, as in
// ReadAs(stream, (*Frame).GetOffer). It returns ErrUnexpected if the frame holds
// another message.
func ReadAs[T comparable](stream *Stream, get func(*Frame) T) (T, error) {
	var zero T
	frame, err := stream.Read()
	if err != nil {
		return zero, err
	}
	message := get(frame)
	if message == zero {
		return zero, ErrUnexpected
	}
	return message, nil
}
