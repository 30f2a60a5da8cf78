package serve

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// Identity returns a hash of what makes two requests the same one: workspace, method, host,
// target and body. Ids and other headers change when a request comes again.
func (r *Request) Identity() uint64 {
	h := sha256.New()
	for _, field := range []string{r.WorkspaceName(), r.Method, r.Host, r.Target} {
		// Writing to a hash cannot fail. The length keeps fields apart.
		_, _ = io.WriteString(h, strconv.Itoa(len(field))+":"+field)
	}
	_, _ = h.Write(r.Body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// identity returns the request's Identity, which is computed on first use.
func (r *run) identity() uint64 {
	if r.identityHash == 0 {
		r.identityHash = r.req.Identity()
	}
	return r.identityHash
}
