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

// unset is the value of a revision flag that was not given.
const unset = -1

// connect returns the platform, and a function that closes it.
func connect(address string) (storekeeper.Platform, func(), error) {
	if address == "" {
		return storekeeper.Platform{}, nil, eris.Wrap(errUsage, "name the platform with -platform ADDRESS")
	}
	platform, release := storekeeper.Remote(address)
	return platform, release, nil
}

func diffCommand() *ffcli.Command {
	flags := configFlags("diff")
	var now, old files
	now.register(flags, "")
	old.register(flags, "old-")
	address := flags.String("platform", "", "address of the platform, to compare with what was accepted")
	from := flags.Int64("from", unset, "accepted revision to compare with; the one in force when not given")
	to := flags.Int64("to", unset, "accepted revision to compare, in place of files")
	return subcommand(flags, "-base FILE ... [-old-base FILE ... | -platform ADDRESS [-from REV] [-to REV]]",
		"show what differs by meaning", func(ctx context.Context) error {
			platform, release, err := storekeeper.Platform{}, func() {}, error(nil)
			if old.base == "" || *to != unset {
				if platform, release, err = connect(*address); err != nil {
					return err
				}
			}
			defer release()
			before, err := side(ctx, old, platform, *from)
			if err != nil {
				return err
			}
			after, err := side(ctx, now, platform, *to)
			if err != nil {
				return err
			}
			return printDiff(before, after)
		})
}

// side returns one side of a difference: files when they are named, else a revision.
func side(ctx context.Context, named files, platform storekeeper.Platform, revision int64) (resolver.Bundle, error) {
	if named.base != "" {
		sources, err := named.checked()
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

// applySettings are the flags of config apply.
type applySettings struct {
	files
	platform   string
	edited     int64
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
	flags.Int64Var(&apply.edited, "edited-from", unset, "the revision that the files were edited from; 0 for the first")
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
	result, err := recorded(ctx, platform, proposal)
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
	return await(ctx, platform, result.Revision, apply.timeout)
}

// propose returns the proposal that the flags ask for.
func (apply *applySettings) propose(ctx context.Context, platform storekeeper.Platform) (publisher.Proposal, error) {
	proposal := apply.proposal
	if apply.rollbackTo == unset {
		if apply.edited == unset {
			return proposal, eris.Wrap(errUsage, "say with -edited-from REV which revision was edited; config status shows the one in force")
		}
		sources, err := apply.checked()
		proposal.Bundle, proposal.BaseRevision = sources.Bundle(), uint64(apply.edited)
		return proposal, err
	}
	if apply.base != "" {
		return proposal, eris.Wrap(errUsage, "give either files or -rollback-to REV")
	}
	bundle, err := publisher.BundleOf(ctx, platform, uint64(apply.rollbackTo))
	if err != nil {
		return proposal, eris.Wrapf(err, "revision %d", apply.rollbackTo)
	}
	proposal.Bundle, proposal.RollbackTo, proposal.BaseRevision = bundle, uint64(apply.rollbackTo), uint64(apply.edited)
	if apply.edited == unset {
		head, _, err := publisher.ReadHead(ctx, platform)
		if err != nil {
			return proposal, err
		}
		proposal.BaseRevision = head.Revision
	}
	return proposal, nil
}
