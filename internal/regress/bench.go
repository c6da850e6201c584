package regress

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
)

// bench runs the bench's program in one repository.
type bench struct {
	program       string
	repositoryDir string
	log           io.Writer
}

func (p *Plan) bench(repositoryDir string) *bench {
	return &bench{program: p.BenchProgram, repositoryDir: repositoryDir, log: p.Log}
}

// command returns an unstarted command of the bench with the repository as its working directory.
func (b *bench) command(ctx context.Context, arguments ...string) (*exec.Cmd, error) {
	program, err := filepath.Abs(b.program)
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	command := exec.CommandContext(ctx, program, arguments...)
	command.Dir = b.repositoryDir
	return command, nil
}

// run runs a command of the bench and returns the entries that it added to the journal. If the bench fails after it
// wrote an entry, the entry records the failure, and run returns no error.
func (b *bench) run(ctx context.Context, arguments ...string) ([]Entry, error) {
	before, err := readJournalOf(b.repositoryDir)
	if err != nil {
		return nil, err
	}
	command, err := b.command(ctx, arguments...)
	if err != nil {
		return nil, err
	}
	command.Stdout, command.Stderr = b.log, b.log
	runErr := command.Run()
	after, err := readJournalOf(b.repositoryDir)
	if err != nil {
		return nil, err
	}
	added := slices.DeleteFunc(after, func(entry Entry) bool {
		return slices.ContainsFunc(before, func(earlier Entry) bool { return earlier.ID == entry.ID })
	})
	if len(added) == 0 {
		if runErr == nil {
			runErr = ErrNoJournalEntry
		}
		return nil, fmt.Errorf("bench %s: %w", arguments[0], runErr)
	}
	return added, nil
}

// readJournalOf reads the journal of the repository in a folder.
func readJournalOf(repositoryDir string) ([]Entry, error) {
	return ReadJournal(os.DirFS(filepath.Join(repositoryDir, "journal")))
}
