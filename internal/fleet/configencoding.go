package fleet

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/route"
	"hickoryhook.example/platform"
)

const (
	// compression is the encoding of configurations between entries: the routes of a large one
	// resemble each other.
	compression = "gzip"
	// minCompressedBytes is the size from which a configuration is compressed.
	minCompressedBytes = 4 << 10
	// minConditionalBytes is the size from which an entry reads only whether the configuration has
	// changed: that takes two calls in place of one.
	minConditionalBytes = 16 << 10
)

type (
	// encodedConfig is the encoded form of a configuration, for other entries.
	encodedConfig struct {
		raw        []byte
		version    uint64
		compressed func() ([]byte, error)
	}

	// storedConfig is a configuration and the revision at which the store got it.
	storedConfig struct {
		config   *route.Config
		revision platform.Revision
	}
)

// newEncodedConfig returns the encoded form of a version. It is compressed once, when it is first
// requested.
func newEncodedConfig(raw []byte, version uint64) *encodedConfig {
	return &encodedConfig{raw: raw, version: version, compressed: sync.OnceValues(func() ([]byte, error) { return compress(raw) })}
}

// write writes the configuration as the response to a request, compressed if the client accepts that.
func (e *encodedConfig) write(w http.ResponseWriter, req *http.Request) error {
	body := e.raw
	if len(body) >= minCompressedBytes && strings.Contains(req.Header.Get("Accept-Encoding"), compression) {
		if compressed, err := e.compressed(); err == nil {
			w.Header().Set("Content-Encoding", compression)
			body = compressed
		}
	}
	_, err := w.Write(body)
	return err
}

// compress returns the compressed form of b.
func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// readConfig reads the encoded form of a configuration from a response, at most maxConfigBytes.
// With an error it returns what has been read.
func readConfig(resp *http.Response) ([]byte, error) {
	var body io.Reader = resp.Body
	if resp.Header.Get("Content-Encoding") == compression {
		r, err := gzip.NewReader(resp.Body)
		if err != nil {
			return nil, errors.Wrap(err, "decompress")
		}
		body = r
	}
	return io.ReadAll(io.LimitReader(body, maxConfigBytes))
}
