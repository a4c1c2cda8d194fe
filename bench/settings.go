package main

import _ "embed"

//go:embed fairs.ini
var fairs string
