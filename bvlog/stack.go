package bvlog

import "runtime/debug"

// maxStackBytes bounds a stack in a log line.
const maxStackBytes = 4 << 10

// Stack returns the stack of a panic that is being recovered, for a log line.
func Stack() string {
	stack := debug.Stack()
	return string(stack[:min(len(stack), maxStackBytes)])
}
