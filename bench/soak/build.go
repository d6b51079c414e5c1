package soak

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Build builds the node's program from the working tree and returns its path in dir.
func Build(dir string) (string, error) { return buildProgram(dir, "", nodeProgram) }

// BuildCommit builds the node's program from a commit of the repository's history, in a folder
// of its own in dir, and returns its path.
func BuildCommit(dir, commit string) (string, error) {
	source := filepath.Join(dir, "source-"+commit)
	if err := os.MkdirAll(source, 0o700); err != nil {
		return "", errors.Wrap(err, "folder")
	}
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", errors.Wrap(err, "repository")
	}
	archive := filepath.Join(dir, commit+".tar")
	for _, command := range [][]string{
		{"git", "-C", string(top[:len(top)-1]), "archive", "--output", archive, commit},
		{"tar", "-x", "-f", archive, "-C", source},
	} {
		if output, err := exec.Command(command[0], command[1:]...).CombinedOutput(); err != nil {
			return "", errors.Wrapf(err, "source of %s: %s", commit, output)
		}
	}
	return buildProgram(source, source, nodeProgram)
}

// nodeProgram is the package of the node's program.
const nodeProgram = "eiderfold/cmd/eiderfold"

// buildProgram builds a program into dir from the source in a folder, "" for the working tree, and
// returns its path.
func buildProgram(dir, source, name string) (string, error) {
	program := filepath.Join(dir, filepath.Base(name))
	command := exec.Command("go", "build", "-o", program, name)
	command.Dir = source
	if output, err := command.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build: %s", output)
	}
	return program, nil
}
