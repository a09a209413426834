package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/benbjohnson/clock"
	"github.com/phuslu/log"

	"github.com/cumintrestle/cumintrestle/internal/host"
	"github.com/cumintrestle/cumintrestle/internal/settings"
)

// serve runs an entry host until SIGTERM or Ctrl-C and then drains it.
func (a *app) serve() error {
	s, err := settings.Load(a.opts.settingsPath)
	if err != nil {
		return err
	}
	h := &host.Host{Settings: s, Clock: clock.New(), Log: newLogger(s.LogLevel)}
	if err := h.Run(); err != nil {
		return err
	}
	a.printJSON(h.Addresses())
	<-a.ctx.Done()
	h.Drain()
	return nil
}

func newLogger(level string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: os.Stderr}}
}

// schemaField is a property of a JSON schema.
type schemaField struct {
	Type  string       `json:"type"`
	Items *schemaField `json:"items,omitempty"`
}

// schema prints the JSON schema of the settings file, generated from the
// Settings type.
func (a *app) schema() error {
	t := reflect.TypeFor[settings.Settings]()
	var b strings.Builder
	var required []string
	for i := range t.NumField() {
		name, opts, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if opts != "omitempty" {
			required = append(required, name)
		}
		f := schemaField{Type: "string"}
		switch t.Field(i).Type.Kind() {
		case reflect.Int64:
			f.Type = "integer"
		case reflect.Slice:
			f.Type, f.Items = "array", &schemaField{Type: "string"}
		}
		body, err := json.Marshal(f)
		if err != nil {
			return fmt.Errorf("schema: %w", err)
		}
		fmt.Fprintf(&b, "%q:%s,", name, body)
	}
	req, err := json.Marshal(required)
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	fmt.Fprintf(a.out, `{"$schema":"https://json-schema.org/draft/2020-12/schema","type":"object",`+
		`"additionalProperties":false,"required":%s,"properties":{%s}}`+"\n", req, strings.TrimSuffix(b.String(), ","))
	return nil
}
