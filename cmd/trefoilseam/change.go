package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// unset is the default of revision flags.
const unset = -1

// connect returns a client of the platform, and a function that closes it.
func connect(address string) (storekeeper.Platform, func(), error) {
	if address == "" {
		return storekeeper.Platform{}, nil, eris.Wrap(errUsage, "name the platform with -platform ADDRESS")
	}
	platform, release := storekeeper.Remote(address)
	return platform, release, nil
}

func diffCommand() *ffcli.Command {
	flags := configFlags("diff")
	var newFiles, oldFiles files
	newFiles.register(flags, "")
	oldFiles.register(flags, "old-")
	address := flags.String("platform", "", "address of the platform, to compare with what was accepted")
	from := flags.Int64("from", unset, "accepted revision to compare with; the one in force when not given")
	to := flags.Int64("to", unset, "accepted revision to compare, in place of files")
	return subcommand(flags, "-base FILE ... [-old-base FILE ... | -platform ADDRESS [-from REV] [-to REV]]",
		"show what differs by meaning", func(ctx context.Context) error {
			platform, release, err := storekeeper.Platform{}, func() {}, error(nil)
			if oldFiles.base == "" || *to != unset {
				if platform, release, err = connect(*address); err != nil {
					return err
				}
			}
			defer release()
			before, err := readBundle(ctx, oldFiles, platform, *from)
			if err != nil {
				return err
			}
			after, err := readBundle(ctx, newFiles, platform, *to)
			if err != nil {
				return err
			}
			return printDiff(before, after)
		})
}

// readBundle returns one side of a diff: the files if a base file is given, else the
// accepted revision; unset means the revision in force.
func readBundle(ctx context.Context, inputs files, platform storekeeper.Platform, revision int64) (resolver.Bundle, error) {
	if inputs.base != "" {
		sources, err := inputs.checked()
		return sources.Bundle(), err
	}
	if revision == unset {
		head, _, err := publisher.ReadHead(ctx, platform)
		if err != nil {
			return resolver.Bundle{}, err
		}
		revision = int64(head.Revision)
	}
	bundle, err := publisher.BundleOf(ctx, platform, uint64(revision))
	return bundle, eris.Wrapf(err, "revision %d", revision)
}

func printDiff(before, after resolver.Bundle) error {
	differences, err := resolver.Diff(before, after)
	if err != nil {
		return err
	}
	for _, diff := range differences {
		fmt.Println(diff)
	}
	return nil
}

// applySettings holds the flags of config apply.
type applySettings struct {
	files
	platform   string
	editedFrom int64
	rollbackTo int64
	wait       bool
	timeout    time.Duration
	proposal   publisher.Proposal
}

func applyCommand() *ffcli.Command {
	flags := configFlags("apply")
	var apply applySettings
	apply.register(flags, "")
	flags.StringVar(&apply.platform, "platform", "", "address of the platform")
	flags.Int64Var(&apply.editedFrom, "edited-from", unset, "the revision that the files were edited from; 0 for the first")
	flags.Int64Var(&apply.rollbackTo, "rollback-to", unset, "bring the content of this revision back, under a new revision")
	flags.StringVar(&apply.proposal.ChangeID, "change-id", "", "name of the change; by default made from its content")
	flags.StringVar(&apply.proposal.Operator, "operator", os.Getenv("USER"), "who makes the change")
	flags.StringVar(&apply.proposal.Comment, "comment", "", "why")
	flags.BoolVar(&apply.wait, "wait", false, "return when every live process has the revision in force")
	flags.DurationVar(&apply.timeout, "timeout", 30*time.Second, "how long to wait")
	return subcommand(flags, "-platform ADDRESS -base FILE [-overlay SITE=FILE ...] -edited-from REV | -rollback-to REV",
		"accept a configuration, unless another change came first", apply.run)
}

func (apply *applySettings) run(ctx context.Context) error {
	platform, release, err := connect(apply.platform)
	if err != nil {
		return err
	}
	defer release()
	proposal, err := apply.propose(ctx, platform)
	if err != nil {
		return err
	}
	result, err := proposeAndRecord(ctx, platform, proposal)
	if err != nil {
		return err
	}
	if result.Unchanged {
		fmt.Printf("unchanged: this content is in force as revision %d\n", result.Revision)
	} else {
		fmt.Printf("accepted: revision %d, change %s\n", result.Revision, result.ChangeID)
	}
	if !apply.wait {
		return nil
	}
	return awaitRevision(ctx, platform, result.Revision, apply.timeout)
}

// propose builds the proposal from the flags: files, or the content of an earlier
// revision.
func (apply *applySettings) propose(ctx context.Context, platform storekeeper.Platform) (publisher.Proposal, error) {
	proposal := apply.proposal
	if apply.rollbackTo == unset {
		if apply.editedFrom == unset {
			return proposal, eris.Wrap(errUsage, "say with -edited-from REV which revision was edited; config status shows the one in force")
		}
		sources, err := apply.checked()
		proposal.Bundle, proposal.BaseRevision = sources.Bundle(), uint64(apply.editedFrom)
		return proposal, err
	}
	if apply.base != "" {
		return proposal, eris.Wrap(errUsage, "give either files or -rollback-to REV")
	}
	bundle, err := publisher.BundleOf(ctx, platform, uint64(apply.rollbackTo))
	if err != nil {
		return proposal, eris.Wrapf(err, "revision %d", apply.rollbackTo)
	}
	proposal.Bundle, proposal.RollbackTo, proposal.BaseRevision = bundle, uint64(apply.rollbackTo), uint64(apply.editedFrom)
	if apply.editedFrom == unset {
		head, _, err := publisher.ReadHead(ctx, platform)
		if err != nil {
			return proposal, err
		}
		proposal.BaseRevision = head.Revision
	}
	return proposal, nil
}
