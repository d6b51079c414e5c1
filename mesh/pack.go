package mesh

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// maxUnpacked bounds a decompressed text (a configuration or membership records) in bytes, so
// that a faulty peer cannot exhaust the memory. It is far above the store's limit of one
// megabyte for a configuration.
const maxUnpacked = 8 << 20

// pack compresses a configuration or a list of membership records. A configuration with
// thousands of routes is hundreds of kilobytes of repetitive text, which every node receives
// from another.
func pack(text []byte) []byte {
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed) // Fails only on an unknown level.
	_, _ = w.Write(text)                              // Writing to a buffer does not fail.
	_ = w.Close()                                     // Writes to the buffer too.
	return out.Bytes()
}

// unpack reverses pack.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(text) > maxUnpacked {
		return nil, errors.New("unpack: the text is too large")
	}
	return text, nil
}
