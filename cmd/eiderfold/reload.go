package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"eiderfold/mesh"
	"eiderfold/settings"
)

// pollInterval is the interval at which the settings file is checked for changes, as
// it may change without a signal.
const pollInterval = 2 * time.Second

// watchSettings reloads the settings on a signal and when the file has changed. If
// the file can't be read or is invalid, the current settings stay in use.
func watchSettings(ctx context.Context, path string, reloads <-chan os.Signal, n *mesh.Node, log *zap.Logger) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	lastModified := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-t.C:
			if now := modified(path); now.Equal(lastModified) {
				continue
			}
		}
		lastModified = modified(path)
		s, err := settings.LoadMesh(path)
		if err != nil {
			log.Error("settings not reloaded; the old ones stay in use", zap.Error(err))
			continue
		}
		n.Reload(s)
	}
}

// modified returns the modification time of a file, or the zero time if it can't be
// read.
func modified(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
