// Package misbehaving plays clients that do not behave against a process of kumquat-entry,
// and checks that the process lives, stays within the memory and the descriptors of its
// settings, and serves an ordinary caller afterwards. It asserts nothing on time and on the
// share of requests that are served.
package misbehaving
