// Package review starts a small deployment of the project's programs on loopback addresses, with stand-ins for
// back ends, clients and the operator that follow the users' pages.
package review

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// renderTemplate fills a settings template as the platform does: {{a.b}}, {{#a}} .. {{/a}}, {{^a}} .. {{/a}}, {{.}}, {{@}}
// and {{,}}.
func renderTemplate(text string, values map[string]any) (string, error) {
	return renderScope(text, scope{values: values})
}

// scope is what the names of a template refer to: an entry of a list or table, and the scope around it.
type scope struct {
	values map[string]any
	entry  any
	key    string
	last   bool
	within bool
}

func renderScope(text string, s scope) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("a gap without an end: %.40q", rest)
		}
		text = after
		if !strings.HasPrefix(tag, "#") && !strings.HasPrefix(tag, "^") {
			out.WriteString(s.text(tag))
			continue
		}
		body, remaining, ended := strings.Cut(after, "{{/"+tag[1:]+"}}")
		if !ended {
			return "", fmt.Errorf("section %s without an end", tag)
		}
		text = remaining
		rendered, err := renderSection(body, tag, s)
		if err != nil {
			return "", err
		}
		out.WriteString(rendered)
	}
}

func renderSection(body, tag string, s scope) (string, error) {
	value := lookUp(s.values, tag[1:])
	given := value != nil && value != false
	if strings.HasPrefix(tag, "^") {
		if given {
			return "", nil
		}
		return renderScope(body, s)
	}
	if !given {
		return "", nil
	}
	var entries []scope
	switch list := value.(type) {
	case []string:
		for i, item := range list {
			entries = append(entries, scope{values: s.values, entry: item, key: strconv.Itoa(i), within: true})
		}
	case map[string]string:
		keys := make([]string, 0, len(list))
		for key := range list {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			entries = append(entries, scope{values: s.values, entry: list[key], key: key, within: true})
		}
	default:
		entries = []scope{{values: s.values, entry: value, within: true}}
	}
	var out strings.Builder
	for i := range entries {
		entries[i].last = i == len(entries)-1
		rendered, err := renderScope(body, entries[i])
		if err != nil {
			return "", err
		}
		out.WriteString(rendered)
	}
	return out.String(), nil
}

// text returns what stands for a gap.
func (s scope) text(tag string) string {
	switch {
	case s.within && tag == ".":
		return plain(s.entry)
	case s.within && tag == "@":
		return s.key
	case s.within && tag == ",":
		if s.last {
			return ""
		}
		return ","
	}
	return plain(lookUp(s.values, tag))
}

// lookUp returns the value of a dotted name, nil if there is none.
func lookUp(values map[string]any, name string) any {
	var current any = values
	for part := range strings.SplitSeq(name, ".") {
		switch table := current.(type) {
		case map[string]any:
			current = table[part]
		case []int:
			index, err := strconv.Atoi(part)
			if err != nil || index >= len(table) {
				return nil
			}
			current = table[index]
		default:
			return nil
		}
	}
	return current
}

func plain(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case bool:
		return strconv.FormatBool(v)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(text)
}
