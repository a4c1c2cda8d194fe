package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// client sends requests to nodes and stand-ins.
var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}

func getJSON(url string, into any) error {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("creating a request for %q: %w", url, err)
	}
	return send(r, into)
}

func postJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encoding the request body for %q: %w", url, err)
	}
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("creating a request for %q: %w", url, err)
	}
	return send(r, nil)
}

func send(r *http.Request, into any) error {
	resp, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("requesting %q: %w", r.URL, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("reading the response of %q: %w", r.URL, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%q responded with status %d: %s", r.URL, resp.StatusCode, body)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}
