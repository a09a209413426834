package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/operator"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

const callTimeout = 15 * time.Second

// operatorClient calls the operators' HTTP interface of one entry host.
type operatorClient struct {
	url        string
	credential string
	http       http.Client
}

func (c *operatorClient) get(ctx context.Context, path string, dst any) error {
	return c.call(ctx, http.MethodGet, path, nil, dst)
}

func (c *operatorClient) apply(ctx context.Context, ch operator.Change) (operator.Result, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return operator.Result{}, fmt.Errorf("encode change: %w", err)
	}
	var r operator.Result
	err = c.call(ctx, http.MethodPost, "/v1/apply", body, &r)
	return r, err
}

func (c *operatorClient) call(ctx context.Context, method, path string, body []byte, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request to %s: %w", c.url, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.credential)
	resp, err := c.http.Do(req)
	if err != nil {
		code := result.PlatformDown
		if method == http.MethodPost {
			code = result.ApplyUnknown
		}
		return result.New(code, "the entry host at %s gave no answer: %w", c.url, err)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return result.New(result.ApplyUnknown, "answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		var e struct {
			Code result.Code `json:"code"`
			Text string      `json:"text"`
		}
		if json.Unmarshal(respBody, &e) == nil && e.Code != 0 {
			return &result.Error{Code: e.Code, Text: e.Text}
		}
		return result.New(result.PlatformDown, "status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(respBody, dst); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// templates returns the stored templates with their versions.
func (c *operatorClient) templates(ctx context.Context) ([]operator.StoredTemplate, error) {
	var out []operator.StoredTemplate
	err := c.get(ctx, "/v1/templates", &out)
	return out, err
}
