package settings

// ProblemAt returns a Problem with the value at key of data, the content of file.
// Its Line is 0 if the key is absent.
func ProblemAt(file string, data []byte, key, fix string) Problem {
	return Problem{File: file, Line: lineOf(data, key), Key: key, Fix: fix}
}
