package assembler

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// settingsPollInterval is how often the settings file is checked, since it may change
// without a signal.
const settingsPollInterval = 2 * timekeeper.Second

// watchSettings reads the settings again on a signal, and when the file has changed.
func (direct *Direct) watchSettings(ctx context.Context) {
	lastModified := modifiedAt(direct.file)
	for {
		fired, release := direct.clock.After(settingsPollInterval)
		select {
		case <-ctx.Done():
			release()
			return
		case <-direct.reloadSignals:
			lastModified = modifiedAt(direct.file)
			direct.reload("signal")
		case <-fired:
			if now := modifiedAt(direct.file); !now.Equal(lastModified) {
				lastModified = now
				direct.reload("file changed")
			}
		}
		release()
	}
}

func modifiedAt(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and applies the log level, the only setting that can
// change while the process runs. A file with faults changes nothing.
func (direct *Direct) reload(reason string) {
	updated, faults := loader.ReadDirect(direct.file)
	log := direct.log.WithField("reason", reason)
	if len(faults) > 0 {
		log.WithField("faults", faults.Error()).Error("settings not taken in")
		return
	}
	withCurrentLevel := updated
	withCurrentLevel.LogLevel = direct.settings.LogLevel
	// It is about the start of this process, which is over.
	withCurrentLevel.FirstStart = direct.settings.FirstStart
	// Log before the level changes: the new level may suppress this line.
	log.WithField("needs-restart", withCurrentLevel != direct.settings).Info("settings read again")
	if level, err := logrus.ParseLevel(updated.LogLevel); err == nil {
		direct.logger.SetLevel(level)
	}
}

// engineOf converts a configured engine to the balancer's units.
func engineOf(engine router.Engine) balancer.Engine {
	const bytesPerMillisecond = 1e6 / 8 / 1000
	return balancer.Engine{
		Memory: engine.MemoryTokens, TokenBytes: engine.TokenBytes, LinkRate: engine.LinkMegabits * bytesPerMillisecond,
	}
}
