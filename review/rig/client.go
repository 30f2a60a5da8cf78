//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// result is what a client got.
type result struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	sealed bool
	body   string
	// err is set if the answer is not complete, or if there is none.
	err error
}

// send sends one request on a new connection and reads the answer to its end.
func (r *rig) send(e *entry, method, path, id string, deadline time.Duration) result {
	body := ""
	if method == http.MethodPost {
		body = "request " + id
	}
	req, err := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return result{id: id, err: err}
	}
	req.Host = routeHost
	req.Header.Set(headerID, id)
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	out := result{id: id, sent: time.Now()}
	resp, err := c.Do(req)
	if err == nil {
		out.status, out.sealed = resp.StatusCode, resp.Header.Get(headerSeal) != ""
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.body = string(data)
	}
	out.took, out.err = time.Since(out.sent), err
	end := "complete"
	if err != nil {
		end = "not complete: " + err.Error()
	}
	r.note("client: %s %s at %s, sent %.3f s after the start: status %d, sealed %t, %d bytes, %s", path, id, e.name, out.sent.Sub(r.begun).Seconds(), out.status, out.sealed, len(out.body), end)
	return out
}

// post sends a request to the route of streams on a kept connection, and reads the answer to its end.
func (r *rig) post(c *http.Client, e *entry, id string, header map[string]string) (status int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/stream/x", strings.NewReader("request"))
	if err != nil {
		return 0, err
	}
	req.Host = routeHost
	req.Header.Set(headerID, id)
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set(headerDeadline, "15000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
