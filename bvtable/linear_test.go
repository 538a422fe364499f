package bvtable

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// lossyStore loses answers and writes of concurrent editors.
type lossyStore struct {
	bvplatform.Memory
	commits      atomic.Int64
	ignoreChecks bool // broken: every transaction is applied
}

func (store *lossyStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	if store.ignoreChecks {
		transaction.Checks = nil
	}
	number := store.commits.Add(1)
	if number%5 == 0 {
		return 0, bvplatform.ErrUnknown
	}
	version, err := store.Memory.Commit(ctx, transaction)
	if number%3 == 0 {
		return 0, bvplatform.ErrUnknown
	}
	return version, err
}

// cellInput is a Get if new is empty, else a Set that expects old.
type cellInput struct{ column, old, new string }

type cellOutput struct {
	text     string // text that a Get read
	accepted bool
	unknown  bool
}

// cellModel models one cell as a register with compare-and-set.
var cellModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, operation := range history {
			column := operation.Input.(cellInput).column
			parts[column] = append(parts[column], operation)
		}
		var list [][]porcupine.Operation
		for _, part := range parts {
			list = append(list, part)
		}
		return list
	},
	Init: func() any { return "0" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(cellInput), output.(cellOutput)
		switch {
		case in.new == "":
			return out.text == state, state
		case state == in.old && (out.accepted || out.unknown):
			return true, in.new
		default:
			return !out.accepted && (out.unknown || state != in.old), state
		}
	},
}

// recordCells records operators on several hosts who concurrently read and set two cells.
func recordCells(t *testing.T, store bvplatform.Store) []porcupine.Operation {
	var mutex sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	start := time.Now()
	for client := range 5 {
		group.Go(func() {
			editor := newEditor(store)
			random := rand.New(rand.NewPCG(6, uint64(client)))
			for range 25 {
				column := []Column{Budget, Turns}[random.IntN(2)]
				input := cellInput{column: column.String()}
				if random.IntN(2) == 0 {
					input.old, input.new = strconv.Itoa(random.IntN(3)), strconv.Itoa(3+random.IntN(3))
					if random.IntN(2) == 0 {
						input.old, input.new = input.new, input.old
					}
				}
				operation := porcupine.Operation{ClientId: client, Input: input, Call: int64(time.Since(start))}
				output := runOperation(t, editor, column, input)
				operation.Output, operation.Return = output, int64(time.Since(start))
				if output.unknown {
					operation.Return = math.MaxInt64
				}
				mutex.Lock()
				history = append(history, operation)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return history
}

func runOperation(t *testing.T, editor *Editor, column Column, input cellInput) cellOutput {
	name := RowName{Member: "piran", Class: "fresh"}
	if input.new == "" {
		table, err := editor.Get(t.Context())
		if err != nil {
			return cellOutput{text: fmt.Sprint(err)}
		}
		return cellOutput{text: table.CellText(name, column)}
	}
	edit := set(name.Member, name.Class, column, input.new)
	edit.Cells[0].Old = &input.old
	_, err := editor.Set(t.Context(), piran, edit)
	if err == nil {
		return cellOutput{accepted: true}
	}
	return cellOutput{unknown: bvverdict.Of(err) != bvverdict.NotRun}
}

func TestCellsAreLinearizable(t *testing.T) {
	store := &lossyStore{}
	seed(t, &store.Memory)
	history := recordCells(t, store)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(cellModel, history, time.Minute))
}

func TestLinearizabilityCheckCatchesAStoreThatIgnoresChecks(t *testing.T) {
	store := &lossyStore{ignoreChecks: true}
	seed(t, &store.Memory)
	// Whether two edits overlap depends on the scheduler, so the test runs many rounds.
	for range 50 {
		if porcupine.CheckOperationsTimeout(cellModel, recordCells(t, store), time.Minute) == porcupine.Illegal {
			return
		}
	}
	t.Fatal("not caught")
}
