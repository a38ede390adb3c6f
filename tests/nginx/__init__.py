"""Tests of the importer of nginx's configurations."""
