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
	// clientGrace is how long a client waits beyond the time that it gave the node.
	clientGrace     = 2 * time.Second
	maxAnswerBytes  = 64 << 20
	failedStatusMin = 400
)

// ask calls the operators' listener of a node and returns the body of its answer.
func ask(ctx context.Context, o *options, method, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout+clientGrace)
	defer cancel()
	target := url.URL{Scheme: "http", Host: o.node, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUsage, "flag --node %q: %s", o.node, err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeOperator, "node %q: %s", o.node, err)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeOperator, "node %q: %s", o.node, err)
	}
	if a.StatusCode >= failedStatusMin {
		return nil, failureOf(o.node, a.StatusCode, body)
	}
	return body, nil
}

// askInto calls a node and decodes its answer.
func askInto(ctx context.Context, o *options, method, path string, query url.Values, into any) error {
	body, err := ask(ctx, o, method, path, query)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return jaypitch.Errorf(jaypitch.CodeOperator, "node %q: %s", o.node, err)
	}
	return nil
}

func failureOf(node string, status int, body []byte) error {
	var f operator.ErrorResponse
	if json.Unmarshal(body, &f) == nil && f.Code != 0 {
		return &jaypitch.Error{Code: f.Code, Reason: f.Reason}
	}
	return jaypitch.Errorf(jaypitch.CodeOperator, "node %q answered %d", node, status)
}

// printJSON writes a value for programs.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("writing the answer: %w", err)
	}
	return nil
}
