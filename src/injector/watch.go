package injector

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/stager"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	watchInterval = 250 * time.Millisecond
	watchTimeout  = time.Second
)

// versionWatcher polls the entries' dumps and records each entry whose
// configuration version in force decreases.
type versionWatcher struct {
	fleet *deployer.Fleet

	mu          sync.Mutex
	highest     map[units.Instance]units.Version
	regressions []string
}

func newVersionWatcher(fleet *deployer.Fleet) *versionWatcher {
	return &versionWatcher{
		fleet:   fleet,
		highest: make(map[units.Instance]units.Version),
	}
}

func (w *versionWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var reads sync.WaitGroup
		for _, entry := range w.fleet.Cluster.Entries {
			reads.Go(func() { w.check(ctx, entry) })
		}
		reads.Wait()
	}
}

func (w *versionWatcher) check(ctx context.Context, entry *stager.Node) {
	version, ok := versionInForce(ctx, entry.OperatorURL())
	// An entry that has just started has no version yet and accepts no calls.
	if !ok || version == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	name := entry.Settings.Name
	if version < w.highest[name] {
		w.regressions = append(w.regressions, fmt.Sprintf("%s went back from version %d to %d", name, w.highest[name], version))
	}
	w.highest[name] = max(w.highest[name], version)
}

func (w *versionWatcher) faults() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.regressions
}

func versionInForce(ctx context.Context, operatorURL string) (units.Version, bool) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, operatorURL+"/dump", nil)
	if err != nil {
		return 0, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, false
	}
	dump := struct {
		Version units.Version `yaml:"version-in-force"`
	}{}
	err = yaml.Unmarshal(content, &dump)
	return dump.Version, err == nil
}
