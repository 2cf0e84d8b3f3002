package claimer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// claimInput and claimOutput are the input and output of one claim in the model.
type claimInput struct {
	key, request string
}

type claimOutput struct {
	outcome Outcome
	owner   string
}

// claimRegister models a key as a write-once register: a claim wins an empty
// register and loses to the owner of a written one. A claim with an unknown
// outcome may or may not have written it.
func claimRegister() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			owner, claim, result := state.(string), input.(claimInput), output.(claimOutput)
			switch {
			case result.outcome == Unknown && owner == "":
				return []any{"", claim.request}
			case result.outcome == Unknown:
				return []any{owner}
			case result.outcome == Won && owner == "":
				return []any{claim.request}
			case result.outcome == Lost && owner != "" && owner == result.owner:
				return []any{owner}
			}
			return nil
		},
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, operation := range history {
				key := operation.Input.(claimInput).key
				byKey[key] = append(byKey[key], operation)
			}
			parts := make([][]porcupine.Operation, 0, len(byKey))
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
	}
	return model.ToModel()
}

func TestClaimsOfOneKeyAreLinearizable(t *testing.T) {
	// Two claims of one key must not both win when the store loses writes or
	// answers. Four committers write groups that share keys during such faults; a
	// group with one taken key conflicts as a whole and is read back row by row.
	// The history of each key must be linearizable as a write-once register.
	clock := timekeeper.NewManual(1)
	platform := imitator.NewPlatform(clock.Clock())
	var now atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	claim := func(client int, committer *Committer, rows []Row) {
		call := now.Add(1)
		results := committer.Commit(t.Context(), rows)
		returned := now.Add(1)
		mu.Lock()
		defer mu.Unlock()
		for i, result := range results {
			history = append(history, porcupine.Operation{
				ClientId: client*len(rows) + i, Call: call, Return: returned,
				Input:  claimInput{rows[i].Key, rows[i].Owner.Request},
				Output: claimOutput{result.Outcome, result.Row.Owner.Request},
			})
		}
	}
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(uint64(client), 11))
			committer := NewCommitter(platform.InProcess().Table, clock.Now)
			for round := range 150 {
				if random.IntN(3) == 0 {
					platform.SetFaults(imitator.PlatformFaults{LoseAnswers: random.IntN(2), LoseWrites: random.IntN(2), Down: random.IntN(8) == 0})
				}
				rows := make([]Row, 3)
				for i := range rows {
					owner := Owner{Agent: fmt.Sprint(client), Incarnation: 1, Request: fmt.Sprintf("%d-%d-%d", client, round, i)}
					rows[i] = Row{Key: fmt.Sprintf("key-%d-%d", round, random.IntN(2)*3+i), Owner: owner, Expires: clock.Now().Add(timekeeper.Hour)}
				}
				claim(client, committer, rows)
			}
		})
	}
	clients.Wait()
	if !porcupine.CheckOperations(claimRegister(), history) {
		t.Fatalf("the history of %d claims is not linearizable", len(history))
	}
}

func TestExpiredClaimsAreSwept(t *testing.T) {
	// Sweep deletes the rows that expired more than 2*Grace ago, in one write; other
	// rows stay and still bind their keys.
	clock := timekeeper.NewManual(1)
	platform := imitator.NewPlatform(clock.Clock())
	committer := NewCommitter(platform.InProcess().Table, clock.Now)
	rows := make([]Row, 10)
	for i := range rows {
		lifetime := timekeeper.Hour
		if i%2 == 0 {
			lifetime = 24 * timekeeper.Hour
		}
		rows[i] = Row{Key: RowKey("t", "s", fmt.Sprint(i)), Owner: Owner{Request: fmt.Sprint(i)}, Expires: clock.Now().Add(lifetime)}
	}
	committer.Commit(t.Context(), rows)
	clock.Advance(4 * timekeeper.Hour)
	before := platform.Counts().Writes
	count, err := committer.Sweep(t.Context(), "", 64)
	if err != nil || count != 5 || platform.Counts().Writes != before+1 {
		t.Fatal(count, err, platform.Counts())
	}
	reclaim := rows[0]
	reclaim.Owner.Request = "later"
	if result := committer.Commit(t.Context(), []Row{reclaim})[0]; result.Outcome != Lost {
		t.Fatalf("an unexpired claim was taken over: %v", result)
	}
}
