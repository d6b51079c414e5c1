package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"eiderfold/mesh"
	"eiderfold/settings"
)

// settingsEvery is the pace at which the settings file is looked at: it may change
// without a signal.
const settingsEvery = 2 * time.Second

// followSettings reloads the settings on a signal and when the file has changed.
// What cannot be read or is not valid leaves the old settings in use.
func followSettings(ctx context.Context, path string, reloads <-chan os.Signal, n *mesh.Node, log *zap.Logger) {
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	changed := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-t.C:
			if now := modified(path); now.Equal(changed) {
				continue
			}
		}
		changed = modified(path)
		s, err := settings.LoadMesh(path)
		if err != nil {
			log.Error("settings not reloaded; the old ones stay in use", zap.Error(err))
			continue
		}
		n.Reload(s)
	}
}

// modified returns when the file changed; zero if it cannot be looked at.
func modified(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
