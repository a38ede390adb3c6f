"""Requests on their way: from their arrival to pools, attempts and the one final answer."""
