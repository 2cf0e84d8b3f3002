package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/explainer"
)

func explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "trefoilseam explain REQUEST-ID [FILE...]",
		ShortHelp:  "tell the story of one request from the logs of several processes",
		LongHelp: "Reads logs from the files, or from standard input, and prints in order what was\n" +
			"decided about the request (*) and what processes believed of its replicas then.",
		FlagSet: flag.NewFlagSet("trefoilseam explain", flag.ContinueOnError),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return eris.Wrap(errUsage, "name the request: trefoilseam explain REQUEST-ID [FILE...]")
			}
			return explain(os.Stdout, args[0], args[1:])
		},
	}
}

// explain prints the timeline of a request from the logs in files, or from standard
// input.
func explain(out io.Writer, request string, files []string) error {
	logs, release, err := openLogs(files)
	if err != nil {
		return err
	}
	defer release()
	timeline, err := explainer.Read(request, logs...)
	if err != nil {
		return err
	}
	return timeline.Write(out)
}

// openLogs returns the logs in files, or standard input if there are none, and a function that
// closes them.
func openLogs(files []string) ([]io.Reader, func(), error) {
	if len(files) == 0 {
		return []io.Reader{os.Stdin}, func() {}, nil
	}
	var opened []*os.File
	release := func() {
		for _, file := range opened {
			_ = file.Close()
		}
	}
	logs := make([]io.Reader, 0, len(files))
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			release()
			return nil, nil, eris.Wrap(errUsage, err.Error())
		}
		opened, logs = append(opened, file), append(logs, file)
	}
	return logs, release, nil
}
