package settings

// ProblemAt returns a Problem with the value at key of data, which file holds; the
// line is found when the key is present.
func ProblemAt(file string, data []byte, key, fix string) Problem {
	return Problem{File: file, Line: lineOf(data, key), Key: key, Fix: fix}
}
