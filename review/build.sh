#!/bin/sh
# The scripts use the standard library only: there is nothing to build.
exit 0
