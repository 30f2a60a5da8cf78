package gateway

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// An answer that a server compressed without being asked reaches its caller as the text that
// it stands for, within the bound; the encoding's header is not forwarded.
func TestCompressedAnswerIsDecompressed(t *testing.T) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, _ = w.Write([]byte(strings.Repeat("a", 1000)))
	_ = w.Close()
	tests := map[string]struct {
		body     []byte
		encoding string
		limit    int64
		want     string
	}{
		"plain":       {[]byte("a"), "", 10, "a"},
		"gzip":        {packed.Bytes(), "gzip", 1000, strings.Repeat("a", 1000)},
		"gzip, long":  {packed.Bytes(), "gzip", 999, ""},
		"gzip, cut":   {packed.Bytes()[:packed.Len()-3], "gzip", 1000, ""},
		"gzip, plain": {[]byte("a"), "gzip", 1000, ""},
		"unknown":     {[]byte("a"), "br", 10, ""},
	}
	for name, tt := range tests {
		for _, streamed := range []bool{false, true} {
			resp := &fasthttp.Response{}
			resp.Header.SetContentEncoding(tt.encoding)
			if streamed {
				resp.SetBodyStream(bytes.NewReader(tt.body), len(tt.body))
			} else {
				resp.SetBody(tt.body)
			}
			got, err := readBody(resp, tt.limit)
			if (err != nil) != (tt.want == "") || err == nil && string(got) != tt.want {
				t.Errorf("%s, streamed %v: %d bytes, error %v, want %d bytes", name, streamed, len(got), err, len(tt.want))
			}
		}
	}
}
