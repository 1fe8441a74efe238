package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
)

const (
	storeChunkBytes = 16 << 10
	tooManyLoads    = "too many loads at once; order fewer"
)

// WeightStore serves model weights at a limited rate and limits the number of
// concurrent loads.
type WeightStore struct {
	// BytesPerSecond is the rate that all loads share.
	BytesPerSecond int64
	// MaxLoads is the limit beyond which a load is refused.
	MaxLoads int
	// VersionBytes is the size of each model version.
	VersionBytes int64

	mu          sync.Mutex
	activeLoads int
	served      int
	refused     int
	freeAt      time.Time
}

// Services returns the store's routes.
func (w *WeightStore) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/v1/weights")
	service.Route(service.GET("/{version}").To(w.handleFetch))
	return []*restful.WebService{service}
}

func (w *WeightStore) handleFetch(_ *restful.Request, response *restful.Response) {
	if !w.beginLoad() {
		response.AddHeader("Retry-After", "1")
		http.Error(response, tooManyLoads, http.StatusTooManyRequests)
		return
	}
	defer w.endLoad()
	chunk := make([]byte, storeChunkBytes)
	for remaining := w.VersionBytes; remaining > 0; remaining -= storeChunkBytes {
		time.Sleep(w.reserveRate(min(remaining, storeChunkBytes)))
		if _, err := response.Write(chunk[:min(remaining, storeChunkBytes)]); err != nil {
			return
		}
	}
}

// reserveRate reserves the transfer of some bytes at the shared rate and returns how
// long to wait until they are transferred.
func (w *WeightStore) reserveRate(bytes int64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(float64(bytes) / float64(w.BytesPerSecond) * float64(time.Second)))
	return w.freeAt.Sub(now)
}

func (w *WeightStore) beginLoad() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.activeLoads >= w.MaxLoads {
		w.refused++
		return false
	}
	w.activeLoads++
	return true
}

func (w *WeightStore) endLoad() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeLoads--
	w.served++
}

func (w *WeightStore) counts() (served, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served, w.refused
}
