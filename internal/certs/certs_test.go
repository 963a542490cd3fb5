package certs_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/certs"
	"github.com/savorystall/savorystall/internal/certs/certstest"
)

func TestLoadErrorNamesFailingFile(t *testing.T) {
	good := certstest.NewAuthority(t).Files(t, certs.FleetName)
	foreign := certstest.NewAuthority(t).Files(t, certs.FleetName)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	is.New(t).NoErr(os.WriteFile(empty, []byte("no certificate\n"), 0o600))
	cases := map[string]struct {
		files certs.Files
		want  string
	}{
		"no certificate file": {certs.Files{Cert: "/absent", Key: good.Key, CA: good.CA}, "fleet certificate"},
		"mismatched key":      {certs.Files{Cert: good.Cert, Key: foreign.Key, CA: good.CA}, "fleet certificate"},
		"no authority file":   {certs.Files{Cert: good.Cert, Key: good.Key, CA: "/absent"}, "fleet authority"},
		"empty authority":     {certs.Files{Cert: good.Cert, Key: good.Key, CA: empty}, "holds no certificate"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := certs.Load(c.files)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
	_, err := certs.Load(good)
	is.New(t).NoErr(err)
}
