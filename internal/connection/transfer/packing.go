package transfer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// Pack compresses the body with gzip.
func Pack(body []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Unpack decompresses a body. It returns ErrTooLarge if the result has more than limit bytes.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w of %d bytes unpacked", ErrTooLarge, limit)
	}
	return body, nil
}
