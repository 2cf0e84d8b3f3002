package assembler

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// claimWitness writes claims of agents again that the store may have lost: an agent that is gone
// can't do so itself.
type claimWitness struct {
	env       Environment
	witness   *claimer.Witness
	committer *claimer.Committer
}

func newClaimWitness(env Environment) *claimWitness {
	return &claimWitness{
		env: env, witness: claimer.NewWitness(env.Clock.Now), committer: claimer.NewCommitter(env.Platform.Table, env.Clock.Now),
	}
}

// run asks the store for its era until ctx ends, while there are claims that a copy may lack.
func (claims *claimWitness) run(ctx context.Context) {
	// The entry must know the era before the first claim.
	claims.restore(ctx)
	claims.env.Clock.Every(ctx, func() timekeeper.Span { return claimer.RestoreInterval }, func(ctx context.Context) {
		if claims.witness.HasRecent() || claims.committer.EraUnknown() {
			claims.restore(ctx)
		}
	})
}

func (claims *claimWitness) restore(ctx context.Context) {
	rows, results, err := claims.committer.Restore(ctx, claims.witness.RecentClaims)
	if err != nil {
		claims.env.Log.WithError(err).Info("store not asked for its era")
		return
	}
	if len(rows) == 0 {
		return
	}
	for i, row := range rows {
		claims.witness.Restored(row, results[i])
	}
	counts := claimer.CountRestored(results)
	claims.env.Log.WithFields(logrus.Fields{
		"written": counts.Written, "taken": counts.Taken, "open": counts.Open,
	}).Info("claims of agents written again after the store came back from a copy")
}
