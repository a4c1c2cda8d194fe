package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// client asks nodes and stand-ins.
var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}

func getJSON(url string, into any) error {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("asking %q: %w", url, err)
	}
	return send(r, into)
}

func postJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encoding for %q: %w", url, err)
	}
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("asking %q: %w", url, err)
	}
	return send(r, nil)
}

func send(r *http.Request, into any) error {
	a, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("asking %q: %w", r.URL, err)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return fmt.Errorf("reading %q: %w", r.URL, err)
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%q answered %d: %s", r.URL, a.StatusCode, body)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}
