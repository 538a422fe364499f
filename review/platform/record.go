package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the case's record file.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// add writes a line with the time since the start in seconds.
func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.writer, "%8.3f ", time.Since(record.started).Seconds())
	fmt.Fprintf(record.writer, format+"\n", arguments...)
}

// print writes a line to the record and to standard output.
func (record *record) print(format string, arguments ...any) {
	record.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush() // a short record shows in the file
	_ = record.file.Close()
}

// newID returns the id of a client's attempt.
func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}
