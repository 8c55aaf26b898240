"""The dispatcher: accepts workflows and leads the site or forwards calls."""
