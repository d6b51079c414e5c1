package mesh

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// maxConfiguration bounds an unpacked configuration in bytes, far above what the store
// holds (a megabyte at most): a broken peer must not fill the memory.
const maxConfiguration = 8 << 20

// pack compresses a configuration's text. One with thousands of routes is hundreds of
// kilobytes that repeat themselves, and every node gets it from another.
func pack(text []byte) []byte {
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed) // Fails only on an unknown level.
	_, _ = w.Write(text)                              // A buffer takes everything.
	_ = w.Close()                                     // As the write.
	return out.Bytes()
}

// unpack reads what pack has written.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxConfiguration+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(text) > maxConfiguration {
		return nil, errors.New("unpack: the text is too large")
	}
	return text, nil
}
