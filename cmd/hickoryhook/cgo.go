package main

// This import links the C library, which the platform's loader requires.

import "C"
