package frame

import (
	"fmt"
	"net/http"
	"strings"
)

const (
	minInterimStatus = 100
	minFinalStatus   = 200
	maxFinalStatus   = 599
)

// HeadError means that a head that can be read is not the head of an answer.
type HeadError struct{ Problem string }

// Error implements error.
func (e *HeadError) Error() string { return "the head is not that of an answer: " + e.Problem }

// CheckHead returns a *HeadError if a head is neither that of a final answer, with a status from
// 200 to 599, nor that of an interim one, with a status from 100 to 199. A change of the protocol
// (101), which nobody asked for, is none: what follows it is not HTTP/1.1. Nor is a head with a field
// whose name is no token: others may read it as the length or the chunks of the body. An interim
// answer has no body. The version is one of HTTP/1.
func CheckHead(resp *http.Response) error {
	switch status := resp.StatusCode; {
	case resp.ProtoMajor != 1:
		return &HeadError{Problem: fmt.Sprintf("its version is %.20q", resp.Proto)}
	case status < minInterimStatus || status > maxFinalStatus:
		return &HeadError{Problem: fmt.Sprintf("no answer has the status %03d", status)}
	case status == http.StatusSwitchingProtocols:
		return &HeadError{Problem: "it changes the protocol"}
	case IsInterim(resp) && namesBody(resp):
		return &HeadError{Problem: "it is interim and names a body"}
	}
	for name := range resp.Header {
		if !isToken(name) {
			return &HeadError{Problem: fmt.Sprintf("no field has the name %.40q", name)}
		}
	}
	return nil
}

// namesBody reports whether a head names the length of a body, or chunks.
func namesBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || length != "" && length != "0"
}

// isToken reports whether a name consists of the characters of a token of HTTP.
func isToken(name string) bool {
	isOther := func(c rune) bool {
		isAlphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	}
	return name != "" && !strings.ContainsFunc(name, isOther)
}

// IsInterim reports whether a checked head is that of an interim answer, which another one follows.
func IsInterim(resp *http.Response) bool { return resp.StatusCode < minFinalStatus }
