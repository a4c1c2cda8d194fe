package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/operator"
)

const (
	// clientGrace is added to the timeout that the node received, for its response to arrive.
	clientGrace      = 2 * time.Second
	maxResponseBytes = 64 << 20
	minErrorStatus   = 400
)

// sendRequest sends a request to the operator listener of a node and returns the body of the response, cut off at maxResponseBytes.
// A status of 400 or more is returned as an error.
func sendRequest(ctx context.Context, o *options, method, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout+clientGrace)
	defer cancel()
	target := url.URL{Scheme: "http", Host: o.node, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUsage, "flag --node %q does not form a URL: %s", o.node, err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeOperator, "request to node %q failed: %s", o.node, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeOperator, "response of node %q can't be read: %s", o.node, err)
	}
	if resp.StatusCode >= minErrorStatus {
		return nil, responseError(o.node, resp.StatusCode, body)
	}
	return body, nil
}

// sendRequestJSON sends a request as sendRequest does and decodes the JSON response.
func sendRequestJSON(ctx context.Context, o *options, method, path string, query url.Values, into any) error {
	body, err := sendRequest(ctx, o, method, path, query)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return jaypitch.Errorf(jaypitch.CodeOperator, "response of node %q can't be decoded: %s", o.node, err)
	}
	return nil
}

// responseError decodes the error in the body of a response. If the body holds none, it returns an error with the HTTP status.
func responseError(node string, status int, body []byte) error {
	var f operator.ErrorResponse
	if json.Unmarshal(body, &f) == nil && f.Code != 0 {
		return &jaypitch.Error{Code: f.Code, Reason: f.Reason}
	}
	return jaypitch.Errorf(jaypitch.CodeOperator, "node %q returned HTTP status %d", node, status)
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("writing JSON output: %w", err)
	}
	return nil
}
