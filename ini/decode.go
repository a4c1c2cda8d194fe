// Package ini reads settings in INI into messages of the schema and reports every fault at once.
//
// A section [kind] fills a single message, a section [kind name] one element of a repeated one.
// A key is the name of a field, without its unit: deadline fills deadline_us.
package ini

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

const nameField = "name"

type decoder struct {
	file     string
	problems Problems
}

// Decode fills m from the text. The file only names the text in problems. If there are problems,
// m is filled in part and must not be used.
func Decode(file string, text []byte, m proto.Message) Problems {
	d := &decoder{file: file}
	if len(text) > jaypitch.MaxDocumentBytes {
		d.add(jaypitch.CodeTooLarge, "", "", "the text has %d bytes; at most %d are allowed", len(text), jaypitch.MaxDocumentBytes)
		return d.problems
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		d.add(jaypitch.CodeSyntax, "", "", "%s", strings.ReplaceAll(err.Error(), "\n", " "))
		return d.problems
	}
	r := m.ProtoReflect()
	seen := map[string]bool{}
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if seen[s.Name()] {
			d.add(jaypitch.CodeDuplicate, s.Name(), "", "the section stands twice")
			continue
		}
		seen[s.Name()] = true
		d.section(r, s)
	}
	d.absentSections(r)
	return d.problems
}

// SectionHeaders lists the section kinds of a message, for error texts.
func SectionHeaders(m protoreflect.MessageDescriptor) string {
	var names []string
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		name := "[" + string(f.Name()) + "]"
		if f.IsList() {
			name = "[" + string(f.Name()) + " NAME]"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func (d *decoder) add(c jaypitch.Code, section, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Code: c, File: d.file, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// section reads one section into its message.
func (d *decoder) section(r protoreflect.Message, s *ini.Section) {
	kind, name, named := strings.Cut(s.Name(), " ")
	f := r.Descriptor().Fields().ByName(protoreflect.Name(kind))
	if f == nil || f.IsList() != named {
		d.add(jaypitch.CodeUnknownSection, s.Name(), "", "the section does not exist; allowed are %s", SectionHeaders(r.Descriptor()))
		return
	}
	var target protoreflect.Message
	if f.IsList() {
		if !nameFormat.MatchString(name) {
			d.add(jaypitch.CodeBadName, s.Name(), "", "the name %q must match %s", name, nameFormat)
			return
		}
		target = r.Mutable(f).List().AppendMutable().Message()
		target.Set(target.Descriptor().Fields().ByName(nameField), protoreflect.ValueOfString(name))
	} else {
		target = r.Mutable(f).Message()
	}
	given := map[string]bool{}
	for _, k := range s.Keys() {
		given[k.Name()] = true
		d.key(target, s, k, f.IsList())
	}
	d.defaults(target, s.Name(), given, f.IsList())
}

// key reads one key into its field.
func (d *decoder) key(target protoreflect.Message, s *ini.Section, k *ini.Key, named bool) {
	f := fieldOf(target.Descriptor(), k.Name(), named)
	if f == nil {
		d.add(jaypitch.CodeUnknownKey, s.Name(), k.Name(), "the key does not exist; allowed are %s", keysOf(target.Descriptor(), named))
		return
	}
	values := k.ValueWithShadows()
	if len(values) > 1 {
		d.add(jaypitch.CodeDuplicate, s.Name(), k.Name(), "the key stands %d times", len(values))
		return
	}
	text := strings.TrimSpace(k.Value())
	if text == "" && RuleOf(f).GetRequired() {
		d.add(jaypitch.CodeMissingKey, s.Name(), k.Name(), "the value is empty; %s", Allowed(f))
		return
	}
	if code, reason := setField(target, f, text); code != jaypitch.CodeOK {
		d.add(code, s.Name(), k.Name(), "%s", reason)
	}
}

// defaults fills absent keys and reports required ones.
func (d *decoder) defaults(target protoreflect.Message, section string, given map[string]bool, named bool) {
	fields := target.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if named && f.Name() == nameField || given[KeyOf(f)] {
			continue
		}
		rule := RuleOf(f)
		if rule.GetRequired() {
			d.add(jaypitch.CodeMissingKey, section, KeyOf(f), "the key is required; %s", Allowed(f))
			continue
		}
		if rule.GetDefault() == "" {
			continue
		}
		if code, reason := setField(target, f, rule.GetDefault()); code != jaypitch.CodeOK {
			d.add(code, section, KeyOf(f), "the default is wrong: %s", reason)
		}
	}
}

// absentSections fills sections that were not given with their defaults.
func (d *decoder) absentSections(r protoreflect.Message) {
	fields := r.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.IsList() || r.Has(f) || d.reported(string(f.Name())) {
			continue
		}
		d.defaults(r.Mutable(f).Message(), string(f.Name()), nil, false)
	}
}

func (d *decoder) reported(section string) bool {
	for _, p := range d.problems {
		if p.Section == section {
			return true
		}
	}
	return false
}

// RuleOf returns the rule of a field; a field without one has an empty rule.
func RuleOf(f protoreflect.FieldDescriptor) *schema.Rule {
	r, _ := proto.GetExtension(f.Options(), schema.E_Rule).(*schema.Rule)
	return r
}

// KeyOf returns the settings key of a field.
func KeyOf(f protoreflect.FieldDescriptor) string {
	if RuleOf(f).GetKind() == schema.Kind_KIND_DURATION {
		return strings.TrimSuffix(string(f.Name()), "_us")
	}
	return string(f.Name())
}

func fieldOf(m protoreflect.MessageDescriptor, key string, named bool) protoreflect.FieldDescriptor {
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		if named && f.Name() == nameField {
			continue
		}
		if KeyOf(f) == key {
			return f
		}
	}
	return nil
}

func keysOf(m protoreflect.MessageDescriptor, named bool) string {
	var names []string
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		if !named || f.Name() != nameField {
			names = append(names, KeyOf(f))
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
