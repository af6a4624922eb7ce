#!/usr/bin/env python3
"""Tests of lint_files.py."""

import pathlib
import tempfile
import unittest
import unittest.mock

import lint_files

ENTRY = {"file": "/src/a.cpp", "directory": "/src/build",
         "command": "/usr/bin/c++ -I/src/include -O2 -o out/a.o -c /src/a.cpp"}
ROOT = pathlib.Path("/src")


class Keys(unittest.TestCase):
    def test_compiler_output_and_file_are_no_flags(self):
        self.assertEqual(lint_files.flags_of(ENTRY), ["-I/src/include", "-O2"])

    def test_any_difference_gives_another_key(self):
        key = lint_files.key_of("v14", ["-O2"], "int a; // NOLINT", ROOT)
        self.assertNotEqual(key, lint_files.key_of("v15", ["-O2"], "int a; // NOLINT", ROOT))
        self.assertNotEqual(key, lint_files.key_of("v14", ["-O3"], "int a; // NOLINT", ROOT))
        self.assertNotEqual(key, lint_files.key_of("v14", ["-O2"], "int a;", ROOT))

    def test_the_folder_of_the_checkout_does_not_count(self):
        self.assertEqual(lint_files.key_of("", ["-I/src/include"], '# 1 "/src/a.hpp"', ROOT),
                         lint_files.key_of("", ["-I/other/include"], '# 1 "/other/a.hpp"',
                                           pathlib.Path("/other")))


class Results(unittest.TestCase):
    def lint(self, passed, returncode):
        """Lints once with a linter of a given result; returns the verdict and whether it ran."""
        done = unittest.mock.Mock(returncode=returncode, stdout="finding\n", stderr="")
        with unittest.mock.patch.object(lint_files, "preprocess", return_value="int a;"), \
                unittest.mock.patch.object(lint_files.subprocess, "run", return_value=done) as run:
            clean, _ = lint_files.lint(ENTRY, "build", "v14", ROOT, passed)
            return clean, run.called

    def test_only_what_passed_is_remembered(self):
        with tempfile.TemporaryDirectory() as folder:
            passed = pathlib.Path(folder)
            self.assertEqual(self.lint(passed, 1), (False, True))
            self.assertEqual(self.lint(passed, 1), (False, True))
            self.assertEqual(self.lint(passed, 0), (True, True))
            self.assertEqual(self.lint(passed, 0), (True, False))


if __name__ == "__main__":
    unittest.main()
