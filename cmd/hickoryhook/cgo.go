package main

// The C library is linked in, as the platform's loader needs it.

import "C"
