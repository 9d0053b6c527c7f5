"""Adapter to the users' platform: the only folder that knows its words.

It decodes what the platform says into the product's types and encodes the answers; every
decision is the product's.
"""
