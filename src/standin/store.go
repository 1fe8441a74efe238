package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
)

const (
	storeChunk = 16 << 10
	tooMany    = "too many loads at once; order fewer"
)

// WeightStore passes on weights at a limited rate and refuses too many loads at once.
type WeightStore struct {
	BytesPerSecond int64
	LoadsAtOnce    int
	// Bytes is the size of each version.
	Bytes int64

	mu      sync.Mutex
	running int
	served  int
	refused int
	free    time.Time
}

// Services returns the store's routes.
func (w *WeightStore) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/v1/weights")
	service.Route(service.GET("/{version}").To(w.fetch))
	return []*restful.WebService{service}
}

func (w *WeightStore) fetch(_ *restful.Request, response *restful.Response) {
	if !w.enter() {
		response.AddHeader("Retry-After", "1")
		http.Error(response, tooMany, http.StatusTooManyRequests)
		return
	}
	defer w.leave()
	chunk := make([]byte, storeChunk)
	for left := w.Bytes; left > 0; left -= storeChunk {
		time.Sleep(w.reserve(min(left, storeChunk)))
		if _, err := response.Write(chunk[:min(left, storeChunk)]); err != nil {
			return
		}
	}
}

// reserve takes a part of the rate that all loads share and returns the wait for it.
func (w *WeightStore) reserve(bytes int64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(bytes) / float64(w.BytesPerSecond) * float64(time.Second)))
	return w.free.Sub(now)
}

func (w *WeightStore) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.LoadsAtOnce {
		w.refused++
		return false
	}
	w.running++
	return true
}

func (w *WeightStore) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.served++
}

func (w *WeightStore) counts() (served, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served, w.refused
}
