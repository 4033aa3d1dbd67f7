package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validText = `
[[service]]
name = "orders"
[[service]]
name = "prices"
[[secret]]
name = "token"
value = "very-secret-value"
[[route]]
name = "orders"
path_prefix = "/orders"
service = "orders"
secret = "token"
sources = ["shop"]
[[route]]
name = "prices"
path_prefix = "/prices"
service = "prices"
`

func validContent(t *testing.T) Content {
	t.Helper()
	content, err := Parse("good.toml", []byte(validText))
	is.New(t).NoErr(err)
	return content
}

func TestValidateReportsEveryProblem(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Content)
		want   []string
	}{
		"good":               {func(*Content) {}, nil},
		"no service":         {func(c *Content) { c.Services = c.Services[1:] }, []string{`route "orders": service "orders"`}},
		"no secret":          {func(c *Content) { c.Secrets = nil }, []string{`route "orders": secret "token"`}},
		"no hand-back":       {func(c *Content) { c.Routes[0].HandBackService = "old" }, []string{`hand_back_service "old"`}},
		"nothing":            {func(c *Content) { c.Services, c.Secrets = nil, nil }, []string{`service "orders"`, `secret "token"`, `service "prices"`}},
		"no route":           {func(c *Content) { c.Routes = nil }, []string{"no route"}},
		"bad prefix":         {func(c *Content) { c.Routes[0].PathPrefix = "orders" }, []string{"must start with /"}},
		"service twice":      {func(c *Content) { c.Services = append(c.Services, c.Services[1]) }, []string{"named twice"}},
		"reserved group":     {func(c *Content) { c.Routes[0].Sources = []string{ScopeAll} }, []string{"not a usable node group"}},
		"endpoint by name":   {func(c *Content) { c.Services[0].Endpoints = []Endpoint{{ID: "a", Address: "host:80"}} }, []string{"is not IP:port"}},
		"empty secret":       {func(c *Content) { c.Secrets[0].Value = "" }, []string{"value must be"}},
		"secret breaks line": {func(c *Content) { c.Secrets[0].Value = "a\r\nb" }, []string{"without control characters"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			content := validContent(t)
			test.change(&content)
			err := content.Validate()
			if test.want == nil {
				is.NoErr(err)
				return
			}
			var invalid *ValidationError
			is.True(errors.As(err, &invalid))
			for _, part := range test.want {
				is.True(strings.Contains(err.Error(), part)) // the error contains the problem
			}
		})
	}
}

func TestParseErrorsNameFileLineAndKey(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"unknown key": {"[[route]]\nname = \"a\"\ncolour = 1\n", `b.toml:3: unknown key "route.colour"`},
		"wrong type":  {"hand_back = 7\n", `b.toml:1: key "hand_back"`},
		"bad time":    {"[[route]]\ntimeout = \"soon\"\n", "b.toml:2"},
		"no toml":     {"[[route\n", "b.toml:1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("b.toml", []byte(test.text))
			is.True(err != nil && strings.Contains(err.Error(), test.want))
		})
	}
}

func TestProofsVerifyEveryScope(t *testing.T) {
	is := is.New(t)
	content := validContent(t)
	tree, err := NewTree(content)
	is.NoErr(err)
	for _, group := range []string{"shop", "somebody-else", ScopeAll} {
		scope := content.ScopeName(group)
		proof, found := tree.Proof(scope)
		is.True(found)
		scoped := content.Scope(scope)
		is.NoErr(proof.Check(scope, scoped, tree.Root()))
		tampered := scoped.Normalized()
		tampered.Routes[0].Service = "prices2"
		is.True(errors.Is(proof.Check(scope, tampered, tree.Root()), ErrDigest))   // modified content
		is.True(errors.Is(proof.Check("other", scoped, tree.Root()), ErrDigest))   // wrong scope
		is.True(errors.Is(proof.Check(scope, scoped, Digest{1, 2, 3}), ErrDigest)) // wrong root
	}
}

func TestScopeContainsOnlyWhatItsRoutesUse(t *testing.T) {
	is := is.New(t)
	scoped := validContent(t).Scope("warehouse")
	is.Equal(len(scoped.Routes), 1)
	is.Equal(len(scoped.Services), 1)
	is.Equal(len(scoped.Secrets), 0) // only a route of another group uses the secret
	is.NoErr(scoped.CheckReferences())
}

func TestApplyingDiffYieldsNextContent(t *testing.T) {
	is := is.New(t)
	old := validContent(t)
	next := validContent(t)
	next.HandBack = true
	next.Routes = next.Routes[1:]
	next.Secrets = nil
	next.Services[0].MaxConcurrency = 9
	next.Services = append(next.Services, Service{Name: "added"})
	next = next.Normalized()
	delta := Diff(old, next)
	is.Equal(old.Apply(delta), next)
	is.True(Diff(next, next).Empty())
	is.Equal(len(delta.Services), 2) // without the unchanged service
}

func TestSecretValuesAreNeverPrinted(t *testing.T) {
	content := validContent(t)
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		text := fmt.Sprintf(format, content) + fmt.Sprintf(format, content.Secrets[0]) + fmt.Sprintf(format, &content)
		if strings.Contains(text, "very-secret") || strings.Contains(text, fmt.Sprintf("%x", "very-secret")) {
			t.Errorf("%s prints the secret: %s", format, text)
		}
	}
}

func TestApprovalIsBoundToClusterVersionAndContent(t *testing.T) {
	is := is.New(t)
	public, private, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	keys := []string{base64.StdEncoding.EncodeToString(public)}
	manifest := Manifest{Version: 4, Parent: 3, Digest: Digest{9}}
	approval := Sign(private, "east", manifest)
	verifier, err := NewVerifier("east", keys)
	is.NoErr(err)
	is.NoErr(verifier.Verify(manifest, approval))
	for _, other := range []Manifest{{Version: 5, Parent: 3, Digest: Digest{9}}, {Version: 4, Parent: 2, Digest: Digest{9}}, {Version: 4, Parent: 3, Digest: Digest{8}}} {
		is.True(errors.Is(verifier.Verify(other, approval), ErrApproval))
	}
	otherCluster, err := NewVerifier("west", keys)
	is.NoErr(err)
	is.True(errors.Is(otherCluster.Verify(manifest, approval), ErrApproval))
	withoutKeys, err := NewVerifier("east", nil)
	is.NoErr(err)
	is.True(errors.Is(withoutKeys.Verify(manifest, approval), ErrApproval))
	_, err = NewVerifier("east", []string{"not a key"})
	is.True(err != nil)
}

func TestKeyFileMustBePrivate(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "approval.key")
	_, err := GenerateKeyFile(path)
	is.NoErr(err)
	_, err = LoadKeyFile(path)
	is.NoErr(err)
	_, err = GenerateKeyFile(path)
	is.True(err != nil) // an existing key is not overwritten
	is.NoErr(os.Chmod(path, 0o644))
	_, err = LoadKeyFile(path)
	is.True(err != nil && strings.Contains(err.Error(), "must not be open to others"))
}

func TestDigestEncodingsRoundTrip(t *testing.T) {
	is := is.New(t)
	digest := Digest{1, 2, 250}
	binary, err := digest.MarshalBinary()
	is.NoErr(err)
	var decoded Digest
	is.NoErr(decoded.UnmarshalBinary(binary))
	is.Equal(decoded, digest)
	is.True(decoded.UnmarshalBinary(binary[1:]) != nil)
	text, err := json.Marshal(digest)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(text, &decoded))
	is.Equal(decoded, digest)
}

// FuzzParse checks that the parser never panics, and that every scope of a valid bundle has a valid
// proof and no missing references.
func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Add("hand_back = true\n[[route]]\nname = \"a\"\npath_prefix = \"/\"\nservice = \"a\"\n[[service]]\nname = \"a\"\n")
	f.Add("[[route]]\nsources = [\"*\"]")
	f.Fuzz(func(t *testing.T, text string) {
		content, err := Parse("fuzz.toml", []byte(text))
		if err != nil || content.Validate() != nil {
			return
		}
		tree, err := NewTree(content)
		if err != nil {
			t.Fatal(err)
		}
		for _, group := range content.Groups() {
			proof, found := tree.Proof(group)
			scoped := content.Scope(group)
			if !found || proof.Check(group, scoped, tree.Root()) != nil {
				t.Fatalf("scope %q has no valid proof", group)
			}
			if err := scoped.CheckReferences(); err != nil {
				t.Fatalf("scope %q has a missing reference: %v", group, err)
			}
		}
	})
}

func TestRegionsMustHaveAZone(t *testing.T) {
	is := is.New(t)
	content := Content{Routes: []Route{{Name: "r", PathPrefix: "/", Regions: []string{"east", "north"}}}}
	is.NoErr(content.CheckRegions(nil)) // without known regions all are allowed
	is.NoErr(content.CheckRegions([]string{"north", "east", "east"}))
	err := content.CheckRegions([]string{"east"})
	is.True(err != nil && strings.Contains(err.Error(), `region "north" has no zone`))
}
